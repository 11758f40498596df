import { STATUS_CODES } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { ConnectionPhase } from "./connection_phase.ts";
import { ServerConnection } from "./server_connection.ts";

/** Statuses by the code of the error, as Node.js chooses them; 400 for all others. */
const statusByCode: ReadonlyMap<string | undefined, number> = new Map([
    ["HPE_HEADER_OVERFLOW", 431],
    ["HPE_CHUNK_EXTENSIONS_OVERFLOW", 413],
    ["ERR_HTTP_REQUEST_TIMEOUT", 408],
]);
/** Phases in which no request of the connection can have run without its answer. */
const answeredPhases: ReadonlySet<ConnectionPhase> = new Set([
    ConnectionPhase.Unused,
    ConnectionPhase.Idle,
    ConnectionPhase.Reading,
]);

/**
 * Closes a connection that has received bytes that are no request, or too few in time. An answer to them is sent only
 * when no earlier request is unanswered: its caller would take that one for the answer to its own request.
 */
export function closeInvalidConnection(error: NodeJS.ErrnoException, duplex: Duplex): void {
    const socket = duplex as Socket;
    if (socket.writable && answeredPhases.has(ServerConnection.get(socket).getPhase())) {
        const status = statusByCode.get(error.code) ?? 400;
        socket.write(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\n\r\n`);
    }
    socket.destroy(error);
}
