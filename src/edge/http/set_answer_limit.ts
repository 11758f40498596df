import type { ClientRequest } from "node:http";
import type { Socket } from "node:net";
import { maxInterimResponses } from "./max_interim_responses.ts";

/**
 * Aborts a request whose answer takes more than `maxBytes` bytes on its connection or has too many interim
 * responses. The parser of Node.js limits headers only; it does not count empty lines, spaces, chunk framing
 * and the body.
 */
export function setAnswerLimit(request: ClientRequest, maxBytes: number): void {
    let interimResponses = 0;
    request.on("information", () => {
        interimResponses += 1;
        if (interimResponses > maxInterimResponses) {
            request.destroy(new Error("the server sent too many interim responses"));
        }
    });
    request.once("socket", (socket: Socket) => {
        const limitBytes = socket.bytesRead + maxBytes;
        const checkLimit = (): void => {
            if (socket.bytesRead > limitBytes) {
                socket.destroy(new Error(`the server sent more than ${maxBytes} bytes`));
            }
        };
        socket.on("data", checkLimit);
        request.once("close", () => socket.off("data", checkLimit));
    });
}
