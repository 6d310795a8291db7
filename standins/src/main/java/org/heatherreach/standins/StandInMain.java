package org.heatherreach.standins;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;

/** Entry point of {@code heatherreach-standin}, with one subcommand per stand-in. Confined to the main thread. */
public final class StandInMain {
    @Parameter(names = "--help", help = true, description = "Show this help")
    private boolean help;

    private StandInMain() {}

    /** Runs the stand-in that is named until the process ends; exits with 2 on bad arguments. */
    public static void main(String[] args) throws InterruptedException {
        StandInMain program = new StandInMain();
        Map<String, StandInCommand> commands = new LinkedHashMap<>();
        commands.put("backend", new BackendCommand());
        commands.put("store", new StoreCommand());
        commands.put("vms", new VmsCommand());
        commands.put("link", new LinkCommand());
        JCommander commander = JCommander.newBuilder()
                .addObject(program)
                .programName("heatherreach-standin")
                .build();
        commands.forEach(commander::addCommand);
        try {
            commander.parse(args);
            StandInCommand command = commands.get(commander.getParsedCommand());
            if (program.help || command == null) {
                commander.usage();
                System.exit(program.help ? 0 : 2);
            }
            System.out.println(command.start());
        } catch (ParameterException | IllegalArgumentException e) {
            System.err.println("heatherreach-standin: " + e.getMessage());
            System.exit(2);
        }
        new CountDownLatch(1).await();
    }
}
