// The experiment that `flintweir-lab run` uses when no file is given: a few nodes and hosts, a deployment, a
// host failure, and clients that disconnect.
#pragma once

namespace flintweir::lab {

inline constexpr const char* kBuiltinExperiment = R"(
name = "first-day"
about = "three nodes and eight hosts; a deploy, a host that dies, clients that all drop"
lasts = "40s"

[fleet]
zones = ["north", "south"]
nodes = 3
hosts = 8

[traffic]
clients = 160
pause = "5s"
life = "14s"
load = 55000

[[listener]]
name = "live"
share = 0.6
utility = 2

[[listener]]
name = "graded"
share = 0.4
handshake_target = "600ms"
dial_timeout = "3s"
effect = "referenced"
load = 1.8
life = 0.6
utility = 5

[[fault]]
kind = "hosts-deploy"
at = "6s"
lasts = "10s"
share = 0.4

[[fault]]
kind = "host-dies"
at = "20s"
lasts = "6s"

[[fault]]
kind = "clients-drop"
at = "29s"
share = 0.6
)";

}  // namespace flintweir::lab
