package org.verbenatally.ctl;

/** Wrong arguments on the command line; the message says what was expected. */
final class UsageException extends Exception {
    private static final long serialVersionUID = 1;

    UsageException(String message) {
        super(message);
    }
}
