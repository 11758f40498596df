/** Why a second attempt is due while the first one runs. */
export const SecondAttemptCause = {
    /** The answer is late. */
    Late: "late",
    /** The owner has not confirmed the receipt of the attempt. */
    Unconfirmed: "unconfirmed",
} as const;

export type SecondAttemptCause = (typeof SecondAttemptCause)[keyof typeof SecondAttemptCause];
