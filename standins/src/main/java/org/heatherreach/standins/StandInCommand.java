package org.heatherreach.standins;

/** A subcommand that starts one stand-in. */
interface StandInCommand {
    /** Starts the stand-in and returns a line that states its ports. */
    String start();
}
