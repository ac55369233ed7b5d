// Bundles programs into single files that need no packages beside them.
import { build } from "esbuild";

/** Native code that libraries try and do without; one file cannot carry it. */
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

/**
 * Bundles each entry point into `outdir/NAME.cjs`.
 *
 * @param entryPoints - Source files by the name of their bundle.
 * @param outdir - Folder of the bundles.
 */
export async function bundle(entryPoints, outdir) {
  await build({
    entryPoints,
    outdir,
    outExtension: { ".js": ".cjs" },
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    plugins: [{ name: "absentPackages", setup: markAbsent }],
    define: { "import.meta.url": JSON.stringify("file:///hemlockbank.cjs") },
    logLevel: "error",
  });
}

function markAbsent(bundler) {
  const filter = new RegExp(`^(${NATIVE_OPTIONAL_PACKAGES.join("|")})$`);
  bundler.onResolve({ filter }, ({ path }) => ({ path, namespace: "absent" }));
  bundler.onLoad({ filter: /.*/, namespace: "absent" }, ({ path }) => ({
    contents: `throw Object.assign(new Error("${path} is not part of this program"), { code: "MODULE_NOT_FOUND" });`,
  }));
}
