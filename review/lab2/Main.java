import java.nio.file.Path;

/** Runs one case: its name, a temporary folder and the file of its record. Exits with 2 if it could not run. */
final class Main {
    private Main() {}

    interface Case {
        /** Returns 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
        int run(Path folder, boolean trouble) throws Exception;
    }

    public static void main(String[] args) throws Exception {
        Record.open(args[2]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result;
        try {
            Case c = (Case) Class.forName(args[0]).getDeclaredConstructor().newInstance();
            result = c.run(Path.of(args[1]), trouble);
        } catch (Throwable e) {
            Record.say("the case could not run: %s", e);
            e.printStackTrace();
            result = 2;
        }
        System.exit(result);
    }
}
