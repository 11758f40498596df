/**
 * Most characters of the items that a daemon passes on at once. All daemons of a failure domain ask at the same time:
 * 50 answers of this size take a second and a half on a link of 20 Mbit/s. More is read from the store itself.
 */
export const maxSharedLength = 65_536;
