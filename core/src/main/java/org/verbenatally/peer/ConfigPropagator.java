package org.verbenatally.peer;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Arrays;
import java.util.Collections;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import org.jboss.logging.Logger;
import org.verbenatally.config.ConfigException;
import org.verbenatally.config.ConfigHolder;
import org.verbenatally.config.ConfigHolder.ConfigDocumentInForce;
import org.verbenatally.config.ConfigReader;
import org.verbenatally.config.DocumentReader;
import org.verbenatally.config.VersionedDeployment;
import org.verbenatally.peer.FrameCodec.BadFrameException;
import org.verbenatally.time.TimerService;
import org.verbenatally.wire.ConfigDelta;
import org.verbenatally.wire.ConfigDocument;
import org.verbenatally.wire.ConfigRequest;
import org.verbenatally.wire.DeltaPart;
import org.verbenatally.wire.PeerFrame;

/**
 * Puts the highest valid document offered by the platform or a peer in force, and never goes back to a lower one. Until
 * the platform and the known peers have been asked, documents are only collected: the platform may serve an old copy to
 * an instance whose earlier run had a higher version in force.
 */
final class ConfigPropagator<D extends VersionedDeployment> {
    private static final Logger LOG = Logger.getLogger(ConfigPropagator.class);

    /** Number of rejected documents that are remembered, so that they are not fetched again from each peer. */
    private static final int MAX_REJECTED = 64;

    /**
     * A delta is sent only if it is this many times smaller than the document, which compresses by about that factor.
     */
    private static final int MIN_DELTA_GAIN = 8;

    private final String deployment;
    private final PeerTimings timings;
    private final TimerService timers;
    private final ConfigHolder<D> inForce;
    /** The highest document seen; it is put in force once the platform and the peers have been asked. */
    private final ConfigHolder<D> highestSeen = new ConfigHolder<>();

    private final Consumer<ConfigDocumentInForce<D>> onAccepted;
    private final DocumentReader<D> reader;
    private final List<Consumer<D>> listeners = new CopyOnWriteArrayList<>();
    private final Set<String> rejected = Collections.newSetFromMap(new BoundedMap());
    private final AtomicLong conflicts = new AtomicLong();
    private final AtomicLong rejections = new AtomicLong();
    private final AtomicLong fetches = new AtomicLong();
    private final AtomicLong deltas = new AtomicLong();
    private volatile String lastFault = "none has been offered";
    private String lastConflict = "";
    private volatile boolean started;
    private volatile Fetch fetch;
    private volatile BaseDocument previous;

    /** The previous document, as the base of deltas for peers that still have it. Only its bytes, to save memory. */
    private record BaseDocument(byte[] digest, byte[] body) {}

    /** A document requested on a link, and the time in nanoseconds at which the request expires. */
    private record Fetch(Link link, long until) {}

    private static final class BoundedMap extends LinkedHashMap<String, Boolean> {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MAX_REJECTED;
        }
    }

    ConfigPropagator(
            PeerOptions options,
            TimerService timers,
            ConfigHolder<D> holder,
            DocumentReader<D> reader,
            Consumer<ConfigDocumentInForce<D>> onAccepted) {
        this.reader = reader;
        this.deployment = options.deployment();
        this.timings = options.timings();
        this.timers = timers;
        this.inForce = holder;
        this.onAccepted = onAccepted;
    }

    void addListener(Consumer<D> listener) {
        listeners.add(listener);
        inForce.deployment().ifPresent(listener);
    }

    private Optional<ConfigDocumentInForce<D>> highest() {
        inForce.document().ifPresent(highestSeen::offer);
        return highestSeen.document();
    }

    /** Returns the highest valid version seen, or 0 if there is none. */
    long version() {
        return highest().map(d -> d.deployment().version().value()).orElse(0L);
    }

    String lastFault() {
        return lastFault;
    }

    long conflicts() {
        return conflicts.get();
    }

    long rejections() {
        return rejections.get();
    }

    long fetches() {
        return fetches.get();
    }

    long deltas() {
        return deltas.get();
    }

    boolean isFetching() {
        Fetch f = fetch;
        return f != null && !f.link().isClosed() && timers.nanos() - f.until() < 0;
    }

    /** Requests the document of a peer that reports a higher one. */
    void onPeerVersion(Link link, long version, byte[] digest) {
        if (version == 0 || !isHigher(version, digest)) {
            return;
        }
        synchronized (this) {
            if (isFetching() || rejected.contains(HexFormat.of().formatHex(digest))) {
                return;
            }
            fetch = new Fetch(
                    link, timers.nanos() + timings.startupQueryTimeout().toNanos());
        }
        fetches.incrementAndGet();
        var request = new ConfigRequest(version());
        highest().ifPresent(d -> request.setBaseDigest(d.digest()));
        link.send(PeerFrame.configRequest(request));
    }

    private boolean isHigher(long version, byte[] digest) {
        Optional<ConfigDocumentInForce<D>> known = highest();
        if (known.isEmpty() || version > known.get().deployment().version().value()) {
            return true;
        }
        byte[] knownDigest = known.get().digest();
        boolean conflict = version == known.get().deployment().version().value() && !Arrays.equals(digest, knownDigest);
        if (conflict) {
            reportConflict(version, digest, knownDigest);
        }
        return conflict && Arrays.compareUnsigned(digest, knownDigest) > 0;
    }

    private synchronized void reportConflict(long version, byte[] a, byte[] b) {
        String first = HexFormat.of().formatHex(a);
        String second = HexFormat.of().formatHex(b);
        String pair = first.compareTo(second) < 0 ? first + second : second + first;
        if (!pair.equals(lastConflict)) {
            lastConflict = pair;
            conflicts.incrementAndGet();
            LOG.errorf(
                    "config: two different documents have version %d (digests %.8s and %.8s); the higher digest wins,"
                            + " publish a new version",
                    version, first, second);
        }
    }

    /** Responds to a peer's request with the highest document, or with a delta if the peer has the previous one. */
    void onRequest(Link link, ConfigRequest request) {
        highest()
                .filter(d -> d.deployment().version().value() >= request.getNewerThan())
                .ifPresent(d -> link.send(response(d, request)));
    }

    private PeerFrame response(ConfigDocumentInForce<D> d, ConfigRequest request) {
        long version = d.deployment().version().value();
        BaseDocument base = previous;
        if (base != null && request.isSetBaseDigest() && Arrays.equals(base.digest(), request.getBaseDigest())) {
            List<DeltaPart> parts = DocumentDelta.between(base.body(), d.body());
            if (DocumentDelta.estimatedSize(parts) < d.body().length / MIN_DELTA_GAIN) {
                return PeerFrame.configDelta(
                        new ConfigDelta(version, ByteBuffer.wrap(d.digest()), ByteBuffer.wrap(base.digest()), parts));
            }
        }
        return PeerFrame.configDocument(new ConfigDocument(
                version, ByteBuffer.wrap(d.digest()), ByteBuffer.wrap(FrameCodec.deflate(d.body()))));
    }

    /**
     * Applies a delta to the document known here; requests the complete document if that has changed in the meantime.
     */
    void onDelta(Link link, ConfigDelta delta) throws BadFrameException {
        Optional<ConfigDocumentInForce<D>> base =
                highest().filter(d -> Arrays.equals(d.digest(), delta.getBaseDigest()));
        if (base.isEmpty()) {
            link.send(PeerFrame.configRequest(new ConfigRequest(version())));
            return;
        }
        byte[] body = DocumentDelta.apply(base.get().body(), delta.getParts(), ConfigReader.MAX_BYTES);
        deltas.incrementAndGet();
        receive(link, delta.getVersion(), delta.getDigest(), body);
    }

    /** Receives a peer's document; throws an exception, which closes the link, if it does not match its digest. */
    void onDocument(Link link, ConfigDocument document) throws BadFrameException {
        byte[] body = FrameCodec.inflate(document.getBody(), ConfigReader.MAX_BYTES);
        receive(link, document.getVersion(), document.getDigest(), body);
    }

    private void receive(Link link, long version, byte[] digest, byte[] body) {
        if (!Arrays.equals(ConfigReader.digest(body), digest)) {
            throw new IllegalArgumentException("digest of document version " + version + " does not match its content");
        }
        try {
            offer("peer " + link, body);
        } finally {
            Fetch f = fetch;
            if (f != null && f.link() == link) {
                fetch = null;
            }
        }
    }

    /** Validates a document and, if it is higher than the present one, adopts it; returns whether it is valid. */
    boolean offer(String source, byte[] body) {
        byte[] digest = ConfigReader.digest(body);
        if (highest().filter(d -> Arrays.equals(d.digest(), digest)).isPresent()) {
            return true;
        }
        String digestHex = HexFormat.of().formatHex(digest);
        synchronized (this) {
            if (rejected.contains(digestHex)) {
                return false;
            }
        }
        ConfigDocumentInForce<D> document;
        try {
            document = reader.readDocument(source, body);
            if (!document.deployment().name().equals(deployment)) {
                throw new ConfigException(
                        source, List.of(new ConfigException.Fault(0, "/deployment", "must be \"" + deployment + "\"")));
            }
        } catch (ConfigException e) {
            reject(digestHex, e.getMessage());
            return false;
        } catch (RuntimeException e) {
            // Each further read would fail in the same way, and close the link to each peer that has the document.
            LOG.errorf(e, "config: a document from %s cannot be read", source);
            reject(digestHex, String.valueOf(e.getMessage()));
            return false;
        }
        // Called to report a conflict, if any; the holder compares the documents again under its own lock.
        isHigher(document.deployment().version().value(), digest);
        ConfigDocumentInForce<D> before = highest().orElse(null);
        if (highestSeen.offer(document)) {
            previous = before == null ? null : new BaseDocument(before.digest(), before.body());
            LOG.infof("config: read version %s from %s", document.deployment().version(), source);
            if (started) {
                putInForce(document);
            }
        }
        return true;
    }

    private void reject(String digestHex, String fault) {
        synchronized (this) {
            rejected.add(digestHex);
        }
        rejections.incrementAndGet();
        lastFault = fault;
        LOG.errorf("config: rejected a document, the one in force is kept: %s", fault);
    }

    /** Ends the collection of documents at startup and puts the highest one in force. */
    void start() {
        started = true;
        highest().ifPresent(this::putInForce);
    }

    private void putInForce(ConfigDocumentInForce<D> document) {
        if (inForce.offer(document)) {
            LOG.infof("config: version %s is in force", document.deployment().version());
            onAccepted.accept(document);
            listeners.forEach(l -> l.accept(document.deployment()));
        }
    }

    /** Reads the configuration from the platform once; returns whether the read succeeded. */
    boolean read(PlatformClient platform, Duration wait) throws InterruptedException {
        try {
            platform.config(version(), wait).get().ifPresent(body -> offer("platform", body));
            return true;
        } catch (ExecutionException e) {
            LOG.debugf("config: read from the platform failed: %s", e.getCause().getMessage());
            lastFault = e.getCause().getMessage();
            return false;
        }
    }
}
