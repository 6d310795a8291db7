package org.heatherreach.daemon.fleet;

import org.heatherreach.coordination.member.Member;
import org.heatherreach.coordination.member.TableBeacon;

/** Receives the table versions and store states that peers advertise in their packets. Called on the member duty. */
@FunctionalInterface
public interface BeaconListener {
    /** Handles the beacon of a received packet. */
    void receiveBeacon(Member from, TableBeacon beacon);
}
