import { Code } from "../core/code.ts";

/** Refusals of an owner that would queue the request if there were no other upstream. */
export const redirectCodes: ReadonlySet<Code> = new Set<Code>([Code.RetryElsewhere, Code.UpstreamSuspected]);
