/** The operator's configuration: a pool of model servers and a desk of plain ones. */
final class Config {
    static final String HOST = "ficu95.example";

    private Config() {}

    static String of(boolean copies) {
        return """
                {"Version":7,"Routes":[
                 {"Name":"r-long","Host":"%1$s","PathPrefix":"/long/","Kind":"stream","TimeoutMs":39000,"SloMs":1800,
                  "Priority":1,"Service":"pool","MaxAttempts":1,"Public":false,"Sticky":true,"Resumable":false,
                  "GapTargetMs":180},
                 {"Name":"r-order","Host":"%1$s","PathPrefix":"/order/","Kind":"non_idempotent","TimeoutMs":2500,
                  "SloMs":193,"Priority":2,"Service":"desk","MaxAttempts":1,"Public":false,"Sticky":false,
                  "Resumable":false},
                 {"Name":"r-read","Host":"%1$s","PathPrefix":"/read/","Kind":"idempotent","TimeoutMs":2500,"SloMs":193,
                  "Priority":2,"Service":"desk","MaxAttempts":3,"Public":false,"Sticky":false,"Resumable":false}],
                 "Services":[
                 {"Name":"pool","HealthPath":"/healthz","MaxConns":232,"Protocol":"h1","Tls":false,
                  "Engine":{"BatchSlots":24,"KvCapacity":34322,"KvTokenBytes":18432,"LinkMbps":2700.0,"Moves":%2$s,
                   "Backups":%2$s,"Stride":4,"most":12,"PinMs":4000.0,"HoldMs":2000.0,"HandleS":5.0,
                   "Models":[{"Name":"m"}]}},
                 {"Name":"desk","HealthPath":"/healthz","MaxConns":110,"Protocol":"h1","Tls":false}],
                 "Tenants":[{"Name":"huka270","ApiKeys":["key-1"]}],
                 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":10000,"IdleTimeoutMs":60000}}
                """.formatted(HOST, copies);
    }
}
