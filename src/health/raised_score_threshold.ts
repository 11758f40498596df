/** Score in nats from which on a score counts as raised; one bad result exceeds it. */
export const raisedScoreThreshold = 3;
