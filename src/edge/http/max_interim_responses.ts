/** Interim responses (1xx) to one request; servers send one or two, and each costs as much as a head. */
export const maxInterimResponses = 8;
