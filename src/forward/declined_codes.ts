import { Code } from "../core/code.ts";

/** Results of attempts that an upstream received and did not run. */
export const declinedCodes: ReadonlySet<Code> = new Set<Code>([Code.UpstreamShed, Code.UpstreamReplaced]);
