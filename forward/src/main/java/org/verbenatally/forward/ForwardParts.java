package org.verbenatally.forward;

import org.verbenatally.time.TimerService;

/**
 * The parts of an instance that the life of a request uses.
 *
 * @param timer clock
 * @param directory targets
 * @param chooser chooses targets
 * @param line generations that wait for an engine
 * @param client connections to targets
 * @param codec translates heads
 * @param repeats bounds repeated sends
 * @param crashes finds requests that crash their targets
 * @param bodies bounds the memory of request bodies
 * @param metrics counters
 */
record ForwardParts(
        TimerService timer,
        TargetDirectory directory,
        TargetChooser chooser,
        WaitingLine line,
        TargetClient client,
        WireCodec codec,
        RepeatAllowance repeats,
        CrashDetector crashes,
        BodyMemory bodies,
        ForwardMetrics metrics) {}
