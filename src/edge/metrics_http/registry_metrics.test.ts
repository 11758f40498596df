import assert from "node:assert/strict";
import { test } from "node:test";
import { HttpListener } from "../http/http_listener.ts";
import { createMetricsApp } from "./create_metrics_app.ts";
import { RegistryMetrics } from "./registry_metrics.ts";

test("a scraper receives counters, gauges and latency histograms with their labels, which alerts rely on", async () => {
    const metrics = new RegistryMetrics("daemon-1");
    metrics.addCount("caller.answer", { status: "200" });
    metrics.addCount("caller.answer", { status: "200" });
    metrics.setGauge("config.version", 7);
    metrics.recordTime("caller.request", 12);
    const app = createMetricsApp(metrics).callback();
    const listener = (await HttpListener.open("127.0.0.1:0", (request, response) => {
        void app(request, response);
    }))._unsafeUnwrap();
    const origin = `http://127.0.0.1:${listener.getPort()}`;
    const text = await (await fetch(`${origin}/metrics`)).text();
    const missing = await fetch(`${origin}/other`);
    await listener.close();
    assert.match(text, /zinniaglade_caller_answer_total\{status="200",daemon="daemon-1"\} 2/);
    assert.match(text, /zinniaglade_config_version\{daemon="daemon-1"\} 7/);
    assert.match(text, /zinniaglade_caller_request_ms_bucket\{le="25",daemon="daemon-1"\} 1/);
    assert.match(text, /zinniaglade_caller_request_ms_bucket\{le="10",daemon="daemon-1"\} 0/);
    assert.equal(missing.status, 404);
});
