/** Number with three significant digits and separators of thousands. */
export function formatQuantity(value: number): string {
    const magnitude = Math.abs(value);
    if (magnitude >= 1_000) {
        return Math.round(value).toLocaleString("en-US");
    }
    return magnitude >= 100 ? value.toFixed(0) : magnitude >= 10 ? value.toFixed(1) : value.toFixed(2);
}
