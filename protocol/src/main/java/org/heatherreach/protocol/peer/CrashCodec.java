package org.heatherreach.protocol.peer;

import org.heatherreach.coordination.crash.CrashReport;
import org.heatherreach.coordination.crash.Fingerprint;
import org.heatherreach.coordination.crash.Suspect;
import org.heatherreach.coordination.crash.SuspectUpdate;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;

/**
 * Converts messages about server crashes to and from their wire form. Decoding fails with {@link MessageException}.
 * Stateless and safe for use by any thread.
 */
public final class CrashCodec {
    private CrashCodec() {}

    /** Converts a crash report to its wire form. */
    public static org.heatherreach.protocol.peer.wire.CrashReport encode(CrashReport report) {
        var wire = org.heatherreach.protocol.peer.wire.CrashReport.newBuilder()
                .setService(report.service().value())
                .setServer(report.server().value());
        for (Fingerprint fingerprint : report.fingerprints()) {
            wire.addFingerprints(fingerprint.value());
        }
        return wire.build();
    }

    /** Converts a crash report from its wire form. */
    public static CrashReport decode(org.heatherreach.protocol.peer.wire.CrashReport wire) {
        return MessageDecoding.decode(
                "CrashReport",
                () -> new CrashReport(
                        new ServiceId(wire.getService()),
                        new ServerId(wire.getServer()),
                        wire.getFingerprintsList().stream()
                                .map(Fingerprint::new)
                                .toList()));
    }

    /** Converts an update of crash suspects to its wire form. */
    public static org.heatherreach.protocol.peer.wire.SuspectUpdate encode(SuspectUpdate update) {
        var wire = org.heatherreach.protocol.peer.wire.SuspectUpdate.newBuilder()
                .setService(update.service().value());
        for (Suspect suspect : update.suspects()) {
            wire.addSuspects(org.heatherreach.protocol.peer.wire.Suspect.newBuilder()
                    .setFingerprint(suspect.fingerprint().value())
                    .setCrashes(suspect.crashes())
                    .setRefused(suspect.refused())
                    .setValidMs(suspect.validMillis())
                    .setCrash(suspect.crash()));
        }
        return wire.build();
    }

    /** Converts an update of crash suspects from its wire form. */
    public static SuspectUpdate decode(org.heatherreach.protocol.peer.wire.SuspectUpdate wire) {
        return MessageDecoding.decode(
                "SuspectUpdate",
                () -> new SuspectUpdate(
                        new ServiceId(wire.getService()),
                        wire.getSuspectsList().stream()
                                .map(suspect -> new Suspect(
                                        new Fingerprint(suspect.getFingerprint()),
                                        suspect.getCrashes(),
                                        suspect.getRefused(),
                                        suspect.getValidMs(),
                                        suspect.getCrash()))
                                .toList()));
    }
}
