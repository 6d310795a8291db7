/** Failure detection and fleet membership, and a naive implementation for comparison. */
package org.heatherreach.coordination.member;
