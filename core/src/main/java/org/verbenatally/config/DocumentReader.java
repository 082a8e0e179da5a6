package org.verbenatally.config;

/**
 * Reads a deployment document of one format.
 *
 * @param <D> kind of deployment that is read
 */
@FunctionalInterface
public interface DocumentReader<D extends VersionedDeployment> {

    /**
     * Reads and validates a document.
     *
     * @param source name of the document or of the peer it came from, for error messages
     * @param body the document as published
     * @throws ConfigException if the document is invalid
     */
    D read(String source, byte[] body) throws ConfigException;

    /** Reads a document and keeps its bytes and digest for exchange with peers. */
    default ConfigHolder.ConfigDocumentInForce<D> readDocument(String source, byte[] body) throws ConfigException {
        return new ConfigHolder.ConfigDocumentInForce<>(read(source, body), ConfigReader.digest(body), body.clone());
    }
}
