/** Workspaces: the accounts of callers, their API keys and quotas. */
package org.heatherreach.state.workspace;
