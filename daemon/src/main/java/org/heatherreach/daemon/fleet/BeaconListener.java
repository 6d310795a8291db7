package org.heatherreach.daemon.fleet;

import org.heatherreach.coordination.member.Member;
import org.heatherreach.coordination.member.TableBeacon;

/** Learns what packets of peers tell about the table and the store. Called on the member duty. */
@FunctionalInterface
public interface BeaconListener {
    /** Takes the beacon of a peer that was heard. */
    void hear(Member from, TableBeacon beacon);
}
