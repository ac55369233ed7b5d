// Builds hemlockbank as one executable file, and the stand-ins and tools as .cjs bundles.
import { execFileSync } from "node:child_process";
import {
  chmodSync,
  copyFileSync,
  mkdirSync,
  readFileSync,
  renameSync,
  statSync,
  writeFileSync,
} from "node:fs";
import { bundle } from "./bundle.mjs";

const EXECUTABLE = "dist/hemlockbank";
const NEW_EXECUTABLE = "dist/hemlockbank.new";
// Marker in the Node.js binary that postject looks for; the value is fixed by Node.js.
const SENTINEL_FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";
const entryPoints = {
  hemlockbank: "src/cli/main.ts",
  platform: "standins/platform/main.ts",
  backendServer: "standins/backendServer/main.ts",
  load: "standins/load/main.ts",
  demo: "standins/scenarios/demo.ts",
  prove: "standins/scenarios/prove.ts",
  soak: "standins/soak/main.ts",
  bench: "benchmarks/main.ts",
};

mkdirSync("build", { recursive: true });
mkdirSync("dist", { recursive: true });

await bundle(entryPoints, "build");

if (isOutdated(EXECUTABLE, ["build/hemlockbank.cjs"])) {
  buildExecutable();
}

function buildExecutable() {
  const seaSettings = {
    main: "build/hemlockbank.cjs",
    output: "build/hemlockbank.blob",
    disableExperimentalSEAWarning: true,
  };
  writeFileSync("build/sea.json", JSON.stringify(seaSettings));
  execFileSync(process.execPath, ["--experimental-sea-config", "build/sea.json"], { stdio: "ignore" });
  // Writes a new file and renames it, so that a running daemon keeps the file that it was started from.
  copyFileSync(process.execPath, NEW_EXECUTABLE);
  execFileSync(
    process.execPath,
    [
      "node_modules/postject/dist/cli.js",
      NEW_EXECUTABLE,
      "NODE_SEA_BLOB",
      "build/hemlockbank.blob",
      "--sentinel-fuse",
      SENTINEL_FUSE,
    ],
    { stdio: "ignore" },
  );
  chmodSync(NEW_EXECUTABLE, 0o755);
  renameSync(NEW_EXECUTABLE, EXECUTABLE);
  copyFileSync("build/hemlockbank.cjs", "build/hemlockbank.built.cjs");
}

/** Returns whether the target is missing, or a source differs from the bundle that it was built from. */
function isOutdated(target, sources) {
  try {
    statSync(target);
    return sources.some(
      (source) => !readFileSync(source).equals(readFileSync("build/hemlockbank.built.cjs")),
    );
  } catch {
    return true;
  }
}
