/** Ranks of routes within one priority of an organisation; a route with a higher one counts as the last. */
const routeRanks = 100;

/** Rank of a request: the priority of the organisation goes before that of the route. 0 is the most urgent. */
export function computeRank(organisationPriority: number | undefined, routePriority: number): number {
    return organisationPriority === undefined
        ? routePriority
        : organisationPriority * routeRanks + Math.min(routePriority, routeRanks - 1);
}
