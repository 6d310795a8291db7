/** Fleet-wide quotas of workspaces: the owner grants credits, the daemons admit requests against them. */
package org.heatherreach.coordination.quota;
