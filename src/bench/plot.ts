/** A bar chart as SVG: the 99th percentile of response over ideal, per scenario and policy. */
import type { ScenarioFigures } from './figures';

const LABEL_PX = 200;
const BAR_PX = 14;
const WIDTH_PX = 600;
const HEAD_PX = 40;
const COLORS = ['#1f77b4', '#ff7f0e', '#2ca02c', '#7f7f7f'];
const LARGEST = 100;

/** Logarithmic from 1 to `LARGEST`. */
function lengthPx(ratio: number): number {
  const clamped = Math.min(LARGEST, Math.max(1, ratio));
  return (Math.log(clamped) / Math.log(LARGEST)) * WIDTH_PX;
}

function legend(policies: readonly string[]): string {
  return policies
    .map((policy, index) => {
      const x = LABEL_PX + index * 160;
      const color = COLORS[index % COLORS.length];
      return (
        `<rect x="${x}" y="8" width="12" height="12" fill="${color}"/>` +
        `<text x="${x + 16}" y="18">${policy}</text>`
      );
    })
    .join('');
}

function axis(heightPx: number): string {
  return [1, 1.25, 2, 5, 10, 100]
    .map((ratio) => {
      const x = LABEL_PX + lengthPx(ratio);
      return (
        `<line x1="${x}" y1="${HEAD_PX}" x2="${x}" y2="${heightPx}" stroke="#ccc"/>` +
        `<text x="${x}" y="${HEAD_PX - 4}" text-anchor="middle" fill="#666">${ratio}</text>`
      );
    })
    .join('');
}

/** Draws the figures; scenarios keep their order. */
export function plotOf(all: readonly ScenarioFigures[]): string {
  const policies = [...new Set(all.map(({ policy }) => policy))];
  const scenarios = [...new Set(all.map(({ scenario }) => scenario))];
  const groupPx = policies.length * BAR_PX + 10;
  const heightPx = HEAD_PX + scenarios.length * groupPx + 10;
  const bars = all.map((figures) => {
    const group = HEAD_PX + scenarios.indexOf(figures.scenario) * groupPx;
    const index = policies.indexOf(figures.policy);
    const y = group + index * BAR_PX;
    const ratio = figures.ratio?.p99 ?? LARGEST;
    const color = COLORS[index % COLORS.length];
    const label = index === 0 ? `<text x="4" y="${group + BAR_PX}">${figures.scenario}</text>` : '';
    const bar = `<rect x="${LABEL_PX}" y="${y}" width="${Math.max(1, lengthPx(ratio))}" height="${BAR_PX - 2}" fill="${color}"/>`;
    const value = `<text x="${LABEL_PX + lengthPx(ratio) + 4}" y="${y + 10}">${ratio.toFixed(2)}</text>`;
    return label + bar + value;
  });
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${LABEL_PX + WIDTH_PX + 80}" height="${heightPx}" font-family="sans-serif" font-size="11">`,
    '<title>99th percentile of response over ideal (logarithmic)</title>',
    legend(policies),
    axis(heightPx),
    ...bars,
    '</svg>',
    '',
  ].join('\n');
}
