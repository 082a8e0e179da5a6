package org.verbenatally.forward;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

import org.verbenatally.core.Address;

/** A target in a process of its own, which ends without closing anything while a request is being sent to it. */
final class EndingProcess implements AutoCloseable {
    private final Process process;
    private final Address address;

    /** Starts a target that responds as soon as a request arrives, and ends some time later. */
    EndingProcess(String response, int delayMillis) throws IOException {
        process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx32m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        EndingProcess.class.getName(),
                        response,
                        Integer.toString(delayMillis))
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        String port = process.inputReader().readLine();
        if (port == null) {
            throw new IOException("the process has not started");
        }
        address = new Address(InetAddress.getLoopbackAddress().getHostAddress(), Integer.parseInt(port));
    }

    Address address() {
        return address;
    }

    /** Runs the target: the response and the delay in milliseconds. */
    public static void main(String[] args) throws IOException, InterruptedException {
        ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        System.out.println(server.getLocalPort());
        Socket socket = server.accept();
        while (socket.getInputStream().available() == 0) {
            Thread.sleep(1);
        }
        socket.getOutputStream().write(args[0].getBytes(StandardCharsets.UTF_8));
        Thread.sleep(Integer.parseInt(args[1]));
        Runtime.getRuntime().halt(0);
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
