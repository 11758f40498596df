import type { Filter } from "../../src/core/filter.ts";
import type { OwnerRequest } from "../../src/queue/owner_request.ts";
import type { QueueStateReader } from "../../src/queue/queue_state_reader.ts";
import type { ScheduledRequest } from "../../src/queue/scheduled_request.ts";

/** A queue under measurement. */
export type OwnerQueue = Filter<OwnerRequest, ScheduledRequest> & QueueStateReader;
