import { Code } from "../core/code.ts";

/** Refusals of an owner that would let the request wait if there were no other upstream. */
export const redirectCodes: ReadonlySet<Code> = new Set<Code>([Code.RetryElsewhere, Code.UpstreamSuspected]);
