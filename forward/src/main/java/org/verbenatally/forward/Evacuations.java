package org.verbenatally.forward;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.jboss.logging.Logger;
import org.verbenatally.core.FailureDomain;
import org.verbenatally.core.LogEvent;
import org.verbenatally.core.SourceRevision;
import org.verbenatally.core.Step;
import org.verbenatally.forward.evacuation.Evacuation;
import org.verbenatally.forward.evacuation.EvacuationTable;
import org.verbenatally.time.TimerService;
import org.verbenatally.wire.DomainEvacuation;

/**
 * Follows which failure domains are evacuated: applies what this instance or another has read to the directory of
 * targets and passes on what others may lack. Safe for use by several threads.
 */
public final class Evacuations {
    private static final Logger LOG = Logger.getLogger(Evacuations.class);
    private static final String FROM_SOURCE = "source";
    private static final String FROM_PEER = "peer";
    /** Number of times that the generations of an evacuated domain are made to check whether to move. */
    private static final int MOVE_STEPS = 10;

    private final TimerService timer;
    private final EvacuationTable table;
    private final TargetDirectory directory;
    private final Consumer<List<DomainEvacuation>> onRead;
    private final List<Consumer<List<ForwardTarget>>> returnListeners = new CopyOnWriteArrayList<>();
    /** Whether the peers get all that is known with their next frame. */
    private volatile boolean shared;

    /**
     * Creates the follower of a table.
     *
     * @param onRead receives records that other instances may lack
     */
    Evacuations(
            TimerService timer,
            EvacuationTable table,
            TargetDirectory directory,
            Consumer<List<DomainEvacuation>> onRead) {
        this.timer = Objects.requireNonNull(timer, "timer");
        this.table = Objects.requireNonNull(table, "table");
        this.directory = Objects.requireNonNull(directory, "directory");
        this.onRead = Objects.requireNonNull(onRead, "onRead");
        this.shared = !table.isEnabled();
    }

    /** Returns whether evacuations are followed; otherwise nothing has to be read. */
    public boolean isEnabled() {
        return table.isEnabled();
    }

    /** Returns the number of evacuated domains. */
    int evacuatedCount() {
        return table.evacuatedCount();
    }

    /**
     * Registers a listener that receives the targets whose evacuation has ended, before they get work again.
     * Listeners must not block.
     */
    void onReturn(Consumer<List<ForwardTarget>> listener) {
        returnListeners.add(listener);
    }

    /**
     * Applies a complete read of all evacuations by this instance.
     *
     * @param at revision of the read
     * @param present evacuations that were read
     * @param unreadable domains whose entries cannot be read; what is known of them stays in force
     */
    public void applyRead(SourceRevision at, Collection<Evacuation> present, Set<FailureDomain> unreadable) {
        boolean wasKnown = table.isKnown();
        EvacuationTable.Changes changes = table.applyRead(at, present, unreadable, timer.nanos());
        apply(changes, FROM_SOURCE, !wasKnown);
        shared = true;
    }

    /**
     * Applies changes that a watch by this instance has reported as soon as the source has accepted them.
     *
     * @param at revision up to which all changes were reported
     * @param changed the changed evacuations
     */
    public void applyWatch(SourceRevision at, Collection<Evacuation> changed) {
        apply(table.applyWatch(at, changed, timer.nanos()), FROM_SOURCE, false);
    }

    /** Applies valid records of other instances. */
    void applyPeerRecords(Collection<DomainEvacuation> records) {
        if (table.isEnabled()) {
            List<Evacuation> decoded = records.stream()
                    .map(record -> new Evacuation(
                            new FailureDomain(record.getFailureDomain()),
                            new SourceRevision(record.getEpoch(), record.getRevision()),
                            record.isEvacuated()))
                    .toList();
            apply(table.applyPeer(decoded, timer.nanos()), FROM_PEER, false);
        }
    }

    /** Records that another instance has sent all evacuations that it knows. */
    void onPeerKnows() {
        if (!table.isKnown() && table.markKnown()) {
            LogEvent.of("evacuation.known").with("source", FROM_PEER).info(LOG);
            directory.onEvacuationsChanged(Set.of());
        }
        if (!shared) {
            shared = true;
        }
    }

    /** Returns whether the peers get all evacuations with or before the next frame to them. */
    boolean isShared() {
        return shared;
    }

    private void apply(EvacuationTable.Changes changes, String source, boolean firstKnown) {
        Set<FailureDomain> begun = domains(changes.begun());
        Set<FailureDomain> ended = domains(changes.ended());
        changes.rejected()
                .forEach(evacuation -> LogEvent.of("evacuation.bad")
                        .with("step", Step.CONFIGURE)
                        .with("source", source)
                        .with("domain", evacuation.domain())
                        .with("reason", "more than " + EvacuationTable.MAX_DOMAINS + " domains")
                        .warn(LOG));
        changes.begun().forEach(evacuation -> log("evacuation.began", evacuation, source));
        changes.ended().forEach(evacuation -> log("evacuation.ended", evacuation, source));
        if (!ended.isEmpty()) {
            List<ForwardTarget> returning = directory.targetsIn(ended);
            returnListeners.forEach(listener -> listener.accept(returning));
        }
        if (!begun.isEmpty() || !ended.isEmpty() || firstKnown) {
            directory.onEvacuationsChanged(begun);
        }
        if (!begun.isEmpty()) {
            // Generations begin to move one after another; those whose engine is silent do not notice by themselves.
            Duration step = table.spread().dividedBy(MOVE_STEPS);
            IntStream.rangeClosed(1, MOVE_STEPS)
                    .forEach(i -> timer.after(step.multipliedBy(i), () -> directory.notifyRequestsIn(begun)));
        }
        if (!changes.news().isEmpty()) {
            onRead.accept(changes.news().stream().map(Evacuations::encode).toList());
        }
    }

    private static Set<FailureDomain> domains(List<Evacuation> evacuations) {
        return evacuations.stream().map(Evacuation::domain).collect(Collectors.toSet());
    }

    private static DomainEvacuation encode(Evacuation evacuation) {
        return new DomainEvacuation(
                evacuation.domain().value(),
                evacuation.revision().number(),
                evacuation.revision().epoch(),
                evacuation.evacuated());
    }

    private void log(String event, Evacuation evacuation, String source) {
        LogEvent.of(event)
                .with("domain", evacuation.domain())
                .with("revision", evacuation.revision())
                .with("source", source)
                .with(
                        "targets",
                        directory.targetsIn(Set.of(evacuation.domain())).size())
                .info(LOG);
    }
}
