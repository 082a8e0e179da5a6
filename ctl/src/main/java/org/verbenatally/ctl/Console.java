package org.verbenatally.ctl;

import java.io.BufferedReader;
import java.io.PrintStream;

/**
 * Where a command reads and writes.
 *
 * @param in answers of the operator
 * @param out results
 * @param err prompts, progress and errors
 */
record Console(BufferedReader in, PrintStream out, PrintStream err) {}
