package org.verbenatally.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Consumer;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/** Loaded models and adapters of an engine, and the orders that change them. Loads run one after the other. */
final class ModelStore {
    private static final class LoadedModel {
        private final String version;
        private final TreeSet<String> adapters = new TreeSet<>();

        LoadedModel(String version) {
            this.version = version;
        }
    }

    private record LoadTask(String model, String version, String adapter) {}

    private final Vertx vertx;
    private final Consumer<JsonObject> onLoaded;
    private final Map<String, LoadedModel> loaded = new LinkedHashMap<>();
    private final Deque<LoadTask> queue = new ArrayDeque<>();
    private final HttpClient client;
    private boolean servesAnyModel;
    private boolean loading;
    private long highestFence = -1;

    /** Creates a store in which the models of the options are already loaded. */
    ModelStore(Vertx vertx, EngineOptions options, Consumer<JsonObject> onLoaded) {
        this.vertx = vertx;
        this.onLoaded = onLoaded;
        client = vertx.createHttpClient();
        for (String text : options.models().strip().split("\\s+")) {
            String[] modelAndAdapters = text.split("\\+");
            if (text.equals("*")) {
                servesAnyModel = true;
            } else if (!text.isEmpty()) {
                String[] name = modelAndAdapters[0].split("@");
                LoadedModel loadedModel = new LoadedModel(name.length > 1 ? name[1] : "1");
                for (int i = 1; i < modelAndAdapters.length; i++) {
                    loadedModel.adapters.add(modelAndAdapters[i]);
                }
                loaded.put(name[0], loadedModel);
            }
        }
    }

    /** Returns whether requests for a model are served; {@code adapter} may be {@code null} or empty for none. */
    boolean isServed(String model, String adapter) {
        LoadedModel loadedModel = loaded.get(model);
        return servesAnyModel
                || loadedModel != null
                        && (adapter == null || adapter.isEmpty() || loadedModel.adapters.contains(adapter));
    }

    JsonArray toJson() {
        JsonArray models = new JsonArray();
        loaded.forEach((name, loadedModel) -> models.add(new JsonObject()
                .put("model", name)
                .put("version", loadedModel.version)
                .put("adapters", new JsonArray(loadedModel.adapters.stream().toList()))));
        return models;
    }

    long highestFence() {
        return highestFence;
    }

    /** Records a fencing number and returns whether it is lower than the highest one recorded before. */
    boolean recordFence(long fence) {
        boolean outdated = fence < highestFence;
        highestFence = Math.max(highestFence, fence);
        return outdated;
    }

    /**
     * Queues the loads that an order needs. In an engine that serves any model ({@code *} in the options), a load takes
     * 1 ms.
     */
    void order(String model, String version, String adapter, EngineOptions options) {
        LoadedModel loadedModel = loaded.get(model);
        if (loadedModel == null || !loadedModel.version.equals(version)) {
            enqueue(new LoadTask(model, version, null));
        }
        boolean wantsAdapter = adapter != null && !adapter.isEmpty();
        if (wantsAdapter && (loadedModel == null || !loadedModel.adapters.contains(adapter))) {
            enqueue(new LoadTask(model, version, adapter));
        }
        loadNext(options);
    }

    private void enqueue(LoadTask task) {
        if (!queue.contains(task)) {
            queue.addLast(task);
        }
    }

    private void loadNext(EngineOptions options) {
        if (loading || queue.isEmpty()) {
            return;
        }
        loading = true;
        LoadTask task = queue.getFirst();
        long loadMs = servesAnyModel
                ? 1
                : Math.max(1, task.adapter() == null ? options.modelLoadMs() : options.adapterLoadMs());
        if (options.weightStore().isEmpty()) {
            vertx.setTimer(loadMs, ignored -> onLoadDone(task, options));
            return;
        }
        int colon = options.weightStore().lastIndexOf(':');
        client.request(
                        HttpMethod.GET,
                        Integer.parseInt(options.weightStore().substring(colon + 1)),
                        options.weightStore().substring(0, colon),
                        "/v1/weights/" + task.model())
                .compose(request -> request.send())
                .compose(response -> response.body())
                .onSuccess(ignored -> vertx.setTimer(loadMs, timer -> onLoadDone(task, options)))
                .onFailure(ignored -> vertx.setTimer(1_000, timer -> {
                    loading = false;
                    loadNext(options);
                }));
    }

    private void onLoadDone(LoadTask task, EngineOptions options) {
        queue.remove(task);
        loading = false;
        if (task.adapter() == null) {
            loaded.remove(task.model());
            while (loaded.size() >= options.maxModels()) {
                loaded.remove(loaded.keySet().iterator().next());
            }
            loaded.put(task.model(), new LoadedModel(task.version()));
        } else if (loaded.containsKey(task.model())) {
            loaded.get(task.model()).adapters.add(task.adapter());
        }
        onLoaded.accept(new JsonObject()
                .put("model", task.model())
                .put("version", task.version())
                .put("adapter", task.adapter()));
        loadNext(options);
    }
}
