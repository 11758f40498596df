import { type Agent, request } from "node:http";

/** Milliseconds from sending a GET to the last byte of its answer; rejects on a status other than 200. */
export function measureRequestMs(url: URL, agent: Agent): Promise<number> {
    return new Promise((resolve, reject) => {
        const startMs = performance.now();
        const outgoing = request(url, { agent, headers: { "x-organisation-id": "measure" } }, response => {
            response.resume();
            response.once("end", () => {
                if (response.statusCode === 200) {
                    resolve(performance.now() - startMs);
                }
                else {
                    reject(new Error(`status ${response.statusCode}`));
                }
            });
        });
        outgoing.once("error", reject);
        outgoing.end();
    });
}
