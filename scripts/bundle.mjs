// Bundles each program into a single file that needs no installed packages.
import { build } from "esbuild";

/** Packages that libraries try to load but work without; some are native, which a bundle cannot include. */
const OPTIONAL_PACKAGES = [
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
 * @param entryPoints - Source file of each bundle, by the bundle's name.
 * @param outdir - Folder for the bundles.
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
    plugins: [{ name: "absentPackages", setup: stubOptionalPackages }],
    define: { "import.meta.url": JSON.stringify("file:///hemlockbank.cjs") },
    logLevel: "error",
  });
}

function stubOptionalPackages(bundler) {
  const filter = new RegExp(`^(${OPTIONAL_PACKAGES.join("|")})$`);
  bundler.onResolve({ filter }, ({ path }) => ({ path, namespace: "absent" }));
  bundler.onLoad({ filter: /.*/, namespace: "absent" }, ({ path }) => ({
    contents: `throw Object.assign(new Error("${path} is not part of this program"), { code: "MODULE_NOT_FOUND" });`,
  }));
}
