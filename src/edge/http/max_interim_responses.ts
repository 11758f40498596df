/** Most interim responses (1xx) per request; servers send one or two, and each costs as much as a head. */
export const maxInterimResponses = 8;
