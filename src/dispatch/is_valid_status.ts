const firstStatus = 100;
const lastStatus = 599;

/**
 * True for a status code in 100 to 599. A client treats any other one as a server error (RFC 9110, section 15),
 * so such an answer is not passed on.
 */
export function isValidStatus(status: number): boolean {
    return Number.isInteger(status) && status >= firstStatus && status <= lastStatus;
}
