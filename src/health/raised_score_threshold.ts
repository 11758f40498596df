/** From this score in nats on an upstream is under suspicion; one bad result exceeds it. */
export const raisedScoreThreshold = 3;
