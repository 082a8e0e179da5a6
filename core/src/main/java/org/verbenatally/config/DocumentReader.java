package org.verbenatally.config;

/**
 * Reads a deployment document of one format.
 *
 * @param <D> the checked deployment
 */
@FunctionalInterface
public interface DocumentReader<D extends VersionedDeployment> {

    /**
     * Reads and checks a document.
     *
     * @param source name of the document or of the peer it came from, for error messages
     * @param body the document as published
     * @throws ConfigException if the document is not accepted
     */
    D read(String source, byte[] body) throws ConfigException;

    /** Reads a document and keeps its bytes and digest for peers. */
    default ConfigHolder.ConfigDocumentInForce<D> readDocument(String source, byte[] body) throws ConfigException {
        return new ConfigHolder.ConfigDocumentInForce<>(read(source, body), ConfigReader.digest(body), body.clone());
    }
}
