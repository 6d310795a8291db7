package org.heatherreach.bench;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

class LinearFitTest {
    // Guards against extrapolations from a wrong slope or an error that hides scatter.
    @Example
    void recoversALineAndReportsScatter() {
        LinearFit exact = LinearFit.of(new double[] {1, 2, 4, 8}, new double[] {5, 7, 11, 19});
        assertThat(exact.slope()).isCloseTo(2, within(1e-9));
        assertThat(exact.intercept()).isCloseTo(3, within(1e-9));
        assertThat(exact.slopeError()).isCloseTo(0, within(1e-9));
        assertThat(exact.valueAt(880)).isCloseTo(1763, within(1e-6));
        LinearFit scattered = LinearFit.of(new double[] {1, 2, 4, 8}, new double[] {5, 8, 10, 19});
        assertThat(scattered.slopeError()).isGreaterThan(0.05);
    }

    // Guards against a fit through points that determine no line.
    @Example
    void refusesPointsOfOneSize() {
        assertThatThrownBy(() -> LinearFit.of(new double[] {2, 2, 2}, new double[] {1, 2, 3}))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
