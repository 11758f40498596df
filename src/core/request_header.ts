/** Names of the headers that zinniaglade reads and writes, in lower case. */
export const RequestHeader = {
    /** Remaining time budget in milliseconds. */
    Timeout: "connect-timeout-ms",
    IdempotencyKey: "idempotency-key",
    RequestId: "x-request-id",
    Organisation: "x-organisation-id",
    Outcome: "zinniaglade-outcome",
    Code: "zinniaglade-code",
} as const;

export type RequestHeader = (typeof RequestHeader)[keyof typeof RequestHeader];
