import type { Filter } from "../../src/core/filter.ts";
import type { LeasedRequest } from "../../src/queue/leased_request.ts";
import type { OwnerRequest } from "../../src/queue/owner_request.ts";
import type { QueueStateReader } from "../../src/queue/queue_state_reader.ts";

/** A queue under measurement. */
export type OwnerQueue = Filter<OwnerRequest, LeasedRequest> & QueueStateReader;
