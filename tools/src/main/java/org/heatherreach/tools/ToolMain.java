package org.heatherreach.tools;

/** Entry point of {@code heatherreach}. Stateless. */
public final class ToolMain {
    private ToolMain() {}

    /** Runs the program. */
    public static void main(String[] args) {
        System.exit(2);
    }
}
