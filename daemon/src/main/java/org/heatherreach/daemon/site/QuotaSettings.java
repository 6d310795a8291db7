package org.heatherreach.daemon.site;

/**
 * The settings of the quotas of workspaces. Immutable and safe for use by any thread.
 *
 * @param windowMillis the window in which the limit of a workspace holds
 * @param partitions the number of partitions into which the workspaces are divided; the same at all daemons
 */
public record QuotaSettings(long windowMillis, int partitions) {}
