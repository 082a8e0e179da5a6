package org.verbenatally.ctl;

/** Exit statuses of {@code verbenatally-ctl}. */
final class ExitStatus {
    /** The command succeeded. */
    static final int OK = 0;
    /** A document was refused, or a command found something that needs attention, such as a warning or an alarm. */
    static final int REFUSED = 1;
    /** The command line is invalid. */
    static final int USAGE = 2;
    /** A file or an instance could not be read. */
    static final int UNAVAILABLE = 3;

    private ExitStatus() {}
}
