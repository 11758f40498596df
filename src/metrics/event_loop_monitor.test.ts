import assert from "node:assert/strict";
import { test } from "node:test";
import { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import type { LogLevel } from "../core/log_level.ts";
import type { Logger } from "../core/logger.ts";
import type { Metrics } from "../core/metrics.ts";
import { PauseMeter } from "../health/pause_meter.ts";
import { EventLoopMonitor } from "./event_loop_monitor.ts";
import { IoActivity } from "./io_activity.ts";
import { IoActivityCounter } from "./io_activity_counter.ts";
import type { ProcessUsage } from "./process_usage.ts";

class Setup implements Logger, Metrics {
    readonly time = new VirtualTime();
    readonly lines: Readonly<Record<string, unknown>>[] = [];
    readonly gauges = new Map<string, number>();
    readonly times: number[] = [];
    readonly activity = new IoActivityCounter();
    usage: ProcessUsage = { processorMs: 500, loopActiveMs: 700, preemptions: 3 };
    private readonly meter = new PauseMeter({ clock: this.time, timers: this.time });
    private readonly monitor = new EventLoopMonitor({
        clock: this.time,
        timers: this.time,
        logger: this,
        metrics: this,
        delays: this.meter,
        usage: { getUsage: () => this.usage },
        activity: this.activity,
        memory: { reportCharges: () => undefined },
        countInFlight: () => 7,
    });

    start(): void {
        this.monitor.start();
    }

    /** Adds milliseconds of processor time and of work of the loop. */
    addUsage(processorMs: number, loopActiveMs: number, preemptions = 0): void {
        this.usage = {
            processorMs: this.usage.processorMs + processorMs,
            loopActiveMs: this.usage.loopActiveMs + loopActiveMs,
            preemptions: this.usage.preemptions + preemptions,
        };
    }

    write(level: LogLevel, event: string, fields: Readonly<Record<string, unknown>> = {}): void {
        this.lines.push({ level, event, ...fields });
    }

    addCount(): void {}

    setGauge(name: string, value: number): void {
        this.gauges.set(name, value);
    }

    recordTime(_: string, valueMs: number): void {
        this.times.push(valueMs);
    }

    close(): void {
        this.monitor.close();
        this.meter.close();
    }
}

test("waiting for an upstream is not logged, so that it does not look like a starved daemon", async () => {
    const setup = new Setup();
    setup.start();
    setup.addUsage(400, 600);
    await setup.time.run(2_000);
    setup.close();
    assert.deepEqual(setup.lines, []);
    assert.deepEqual(Object.fromEntries(setup.gauges), {
        "loop.delay_mean": 0,
        "loop.utilization": 0.3,
        "processor.share": 0.2,
    });
    assert.deepEqual(setup.times, [0]);
});

test("a daemon with too little processor time logs its loop delay and its processor time", async () => {
    const setup = new Setup();
    setup.start();
    await setup.time.run(1_000);
    setup.activity.add(IoActivity.DatagramsReceived);
    setup.activity.add(IoActivity.DatagramsReceived);
    setup.addUsage(300, 1_500, 40);
    setup.time.addPause(450);
    await setup.time.run(550);
    setup.close();
    assert.deepEqual(setup.lines, [{
        level: "warn",
        event: "loop_delayed",
        largestMs: 400,
        meanMs: 13,
        utilization: 0.75,
        processorMs: 300,
        wallMs: 2_000,
        preemptions: 40,
        inFlight: 7,
        linesWritten: 0,
        datagramsSent: 0,
        datagramsReceived: 2,
    }]);
});

test("a saturated loop is logged although no timer is late, and a busy minute gives 30 lines", async () => {
    const setup = new Setup();
    setup.start();
    for (let second = 0; second < 60; second += 2) {
        setup.addUsage(1_900, 1_900);
        await setup.time.run(2_000);
    }
    setup.close();
    assert.equal(setup.lines.length, 30);
    assert.equal(setup.lines[0]?.["utilization"], 0.95);
});

test("each reading covers its own period, so that a pause is not reported twice", async () => {
    const setup = new Setup();
    setup.start();
    setup.time.addPause(500);
    await setup.time.run(1_500);
    await setup.time.run(2_000);
    setup.close();
    assert.deepEqual(setup.times, [450, 0]);
    assert.equal(setup.lines.length, 1);
});
