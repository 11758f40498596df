/** Faults that the measurement injects into an upstream or a network path. */
export const FaultKind = {
    None: "none",
    Slow: "slow 5 times",
    WrongContent: "wrong content",
    WrongStatus: "wrong status",
    Refused: "refused connection",
    Hanging: "hanging",
    FlappingSlow: "flapping 3 s/3 s, slow 5 times",
    FlappingStatus: "flapping 3 s/3 s, wrong status",
    HalfBad: "half of the requests bad",
    HalfSlow: "half of the requests slow 5 times",
    PathCut: "one path cut",
} as const;

export type FaultKind = (typeof FaultKind)[keyof typeof FaultKind];
