/** Most bytes of a body inside the frame of its head; a longer one follows in pieces. */
export const maxWholeBodyBytes = 65_536;
