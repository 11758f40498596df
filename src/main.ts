/** Entry point of the program. */
process.stdout.write("zinniaglade\n");
