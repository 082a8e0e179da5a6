package org.verbenatally.forward;

import java.util.function.IntSupplier;

import org.verbenatally.forward.admission.MemoryReservations;
import org.verbenatally.forward.speed.SpeedModels;
import org.verbenatally.time.TimerService;

/**
 * The components of an instance that are used to forward a request.
 *
 * @param timer clock
 * @param directory targets
 * @param chooser chooses targets
 * @param speeds measured speeds of targets
 * @param waitQueue generations that wait for an engine
 * @param reservations memory that is reserved for the more urgent generations
 * @param members number of live instances, this one included
 * @param client connections to targets
 * @param codec translates heads
 * @param retryAllowance limits retries
 * @param crashDetector finds requests that crash their targets
 * @param reachability finds out whether this instance has lost its paths to targets
 * @param probe checks whether targets accept connections
 * @param bodyMemory limits the memory of request bodies
 * @param responseMemory limits the memory of buffered responses
 * @param gate decides whether a request may be sent to a target now
 * @param metrics counters
 */
record ForwardComponents(
        TimerService timer,
        TargetDirectory directory,
        TargetChooser chooser,
        SpeedModels speeds,
        WaitQueue waitQueue,
        MemoryReservations reservations,
        IntSupplier members,
        TargetClient client,
        HttpMessageCodec codec,
        RetryAllowance retryAllowance,
        CrashDetector crashDetector,
        ReachabilityMonitor reachability,
        TargetProbe probe,
        BodyMemory bodyMemory,
        BodyMemory responseMemory,
        SendGate gate,
        ForwardMetrics metrics) {}
