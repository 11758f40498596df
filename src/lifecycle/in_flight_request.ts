/** Keeps one request counted as in flight until it is closed. */
export interface InFlightRequest {
    /** Ends the request; further calls do nothing. `answered` is false when its connection closed first. */
    close(answered: boolean): void;
}
