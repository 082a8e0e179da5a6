package org.verbenatally.entry.caller;

/** Ends the handling of a request with a problem document. */
final class ProblemException extends RuntimeException {
    private static final long serialVersionUID = 1;

    private final transient Problem problem;

    ProblemException(Problem problem) {
        super(problem.detail(), null, false, false);
        this.problem = problem;
    }

    Problem problem() {
        return problem;
    }
}
