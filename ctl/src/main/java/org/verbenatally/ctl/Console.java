package org.verbenatally.ctl;

import java.io.BufferedReader;
import java.io.PrintStream;

/**
 * Streams of a command.
 *
 * @param in input of the operator, or log lines
 * @param out results
 * @param err prompts, progress and errors
 */
record Console(BufferedReader in, PrintStream out, PrintStream err) {}
