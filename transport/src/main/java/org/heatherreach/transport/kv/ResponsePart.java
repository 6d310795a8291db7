package org.heatherreach.transport.kv;

/**
 * A part of a response as it arrives. The content is not copied and must not be modified.
 *
 * @param status the HTTP status code of the response
 * @param content the bytes of the part
 */
record ResponsePart(int status, byte[] content) {}
