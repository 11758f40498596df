import { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import { AttemptTable } from "../../src/operations/attempt_table.ts";
import { encodeKey } from "../../src/operations/encode_key.ts";
import { OperationTable } from "../../src/operations/operation_table.ts";
import { createOwnerReply } from "./create_owner_reply.ts";
import { measureHeapBytes } from "./measure_heap_bytes.ts";
import { measureProcessorUs } from "./measure_processor_us.ts";
import type { SlopeMeasurement } from "./slope_measurement.ts";

/** Records of ended operations, without and with an answer of 1,024 bytes, and ended attempts. */
export class OperationMeasurement implements SlopeMeasurement {
    readonly name = "Operations";
    readonly sizeUnit = "records";
    readonly sizes = [4_000, 8_000, 16_000];
    readonly target = 16_000;

    async measure(count: number): Promise<Readonly<Record<string, number>>> {
        const empty = await this.measureTable(count, 0);
        const filled = await this.measureTable(count, 1_024);
        let usedUs = 0;
        const attempts = await measureHeapBytes(async () => {
            const table = new AttemptTable();
            usedUs = await measureProcessorUs(() => {
                for (let index = 0; index < count; index += 1) {
                    const id = { requestId: `0123456789abcdef-${index}`, attempt: 1 };
                    table.register(id)._unsafeUnwrap().recordDispatch();
                    table.recordEnd(id);
                }
            });
            return table;
        });
        return {
            "operations without a body, bytes": empty.bytes,
            "operations with a body of 1,024 bytes, bytes": filled.bytes,
            "operations, processor µs for all": empty.usedUs,
            "attempts that ended, bytes": attempts.bytes,
            "attempts, processor µs for all": usedUs,
        };
    }

    private async measureTable(count: number, bodyBytes: number) {
        const time = new VirtualTime();
        let usedUs = 0;
        const { bytes } = await measureHeapBytes(async () => {
            const table = new OperationTable({ clock: time });
            const attempts = new AttemptTable();
            usedUs = await measureProcessorUs(() => {
                for (let index = 0; index < count; index += 1) {
                    this.addOperation(table, attempts, index, bodyBytes, time.getWallMs() + 300_000);
                }
            });
            return table;
        });
        return { bytes, usedUs };
    }

    private addOperation(
        table: OperationTable,
        attempts: AttemptTable,
        index: number,
        bodyBytes: number,
        expiresAtMs: number,
    ): void {
        const key = {
            ownerId: "daemon-1",
            incarnation: "5f3759df18c2a4b7e31",
            expiresAtMs,
            nonce: `00112233445566778899aabb${index}`,
        };
        const id = { requestId: `0123456789abcdef-${index}`, attempt: 1 };
        const attempt = attempts.register(id)._unsafeUnwrap();
        const fingerprint = `${index}`.padStart(64, "0");
        const operation = table.add(encodeKey(key), { key, fingerprint, id, attempt })._unsafeUnwrap();
        table.recordEnd(operation, createOwnerReply(index, bodyBytes, 0));
        attempts.recordEnd(id);
    }
}
