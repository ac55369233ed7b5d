// Builds the product as one executable file, and the stand-ins and tools as plain bundles.
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
import { build } from "esbuild";

const EXECUTABLE = "dist/hemlockbank";
const NEW_EXECUTABLE = "dist/hemlockbank.new";
const FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";
const NATIVE_OPTIONAL_PACKAGES = [
  "dtrace-provider",
  "unix-dgram",
  "mv",
  "source-map-support",
  "msgpackr-extract",
  "bufferutil",
  "utf-8-validate",
  "supports-color",
];

const entryPoints = {
  hemlockbank: "src/cli/main.ts",
  platform: "standins/platform/main.ts",
  backendServer: "standins/backendServer/main.ts",
  load: "standins/load/main.ts",
  demo: "standins/scenarios/demo.ts",
  prove: "standins/scenarios/prove.ts",
  bench: "benchmarks/main.ts",
};

mkdirSync("build", { recursive: true });
mkdirSync("dist", { recursive: true });

await build({
  entryPoints,
  outdir: "build",
  outExtension: { ".js": ".cjs" },
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  plugins: [{ name: "absentPackages", setup: markAbsent }],
  define: { "import.meta.url": JSON.stringify("file:///hemlockbank.cjs") },
  logLevel: "error",
});

if (isOutdated(EXECUTABLE, ["build/hemlockbank.cjs"])) {
  buildExecutable();
}

/** Libraries try these packages and do without them; one file cannot carry native code. */
function markAbsent(bundler) {
  const filter = new RegExp(`^(${NATIVE_OPTIONAL_PACKAGES.join("|")})$`);
  bundler.onResolve({ filter }, ({ path }) => ({ path, namespace: "absent" }));
  bundler.onLoad({ filter: /.*/, namespace: "absent" }, ({ path }) => ({
    contents: `throw Object.assign(new Error("${path} is not part of this program"), { code: "MODULE_NOT_FOUND" });`,
  }));
}

function buildExecutable() {
  const seaSettings = {
    main: "build/hemlockbank.cjs",
    output: "build/hemlockbank.blob",
    disableExperimentalSEAWarning: true,
  };
  writeFileSync("build/sea.json", JSON.stringify(seaSettings));
  execFileSync(process.execPath, ["--experimental-sea-config", "build/sea.json"], { stdio: "ignore" });
  // A running daemon keeps its file: the new one is made beside it and then takes its name.
  copyFileSync(process.execPath, NEW_EXECUTABLE);
  execFileSync(
    process.execPath,
    [
      "node_modules/postject/dist/cli.js",
      NEW_EXECUTABLE,
      "NODE_SEA_BLOB",
      "build/hemlockbank.blob",
      "--sentinel-fuse",
      FUSE,
    ],
    { stdio: "ignore" },
  );
  chmodSync(NEW_EXECUTABLE, 0o755);
  renameSync(NEW_EXECUTABLE, EXECUTABLE);
  copyFileSync("build/hemlockbank.cjs", "build/hemlockbank.built.cjs");
}

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
